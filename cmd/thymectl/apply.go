package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/document"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/pool"
)

// file is a configuration file: the entities to create or replace.
type file struct {
	Accounts []fileAccount `yaml:"accounts"`
	Pools    []pool.Pool   `yaml:"pools"`
	Models   []model.Model `yaml:"models"`
}

// fileAccount is an account with its API keys. Only hashes of the keys are sent.
type fileAccount struct {
	Account account.Account `yaml:"account"`
	Keys    []string        `yaml:"keys"`
}

// apply sends all entities of a configuration file as one change.
func (c client) apply(ctx context.Context, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var f file
	d := document.Document{Name: name}
	d.Decode(data, &f)
	if err := d.Err(); err != nil {
		return err
	}
	entries, err := f.entries()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.post(ctx, "/v1/changes", struct {
		Entries []configuration.Entry `json:"entries"`
	}{entries})
}

func (f file) entries() ([]configuration.Entry, error) {
	var entries []configuration.Entry
	add := func(kind, name string, entity any) error {
		after, err := json.Marshal(entity)
		entries = append(entries, configuration.Entry{Kind: kind, Name: name, After: after})
		return trace.Wrap(err)
	}
	for _, a := range f.Accounts {
		for _, key := range a.Keys {
			a.Account.KeyHashes = append(a.Account.KeyHashes, account.HashKey(key))
		}
		if err := add(configuration.KindAccount, a.Account.Name, a.Account); err != nil {
			return nil, err
		}
	}
	for _, p := range f.Pools {
		if err := add(configuration.KindPool, p.Name, p); err != nil {
			return nil, err
		}
	}
	for _, m := range f.Models {
		if err := add(configuration.KindModel, m.Name, m); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
