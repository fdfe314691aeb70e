package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/permit"
	"github.com/thymewind/thymewind/refusal"
)

// TestPermitSearch guards against requests that cost a call for each target without room or wait at each of them,
// and against permits that are kept by requests that go elsewhere.
func TestPermitSearch(t *testing.T) {
	tests := []struct {
		name string
		// full are the targets without room, unplaceable those that can't take the request.
		full, unplaceable []string
		// placed is where the request is placed one after the other, target where it goes.
		placed []string
		target string
	}{
		{"room at the first", nil, nil, []string{"t1"}, "t1"},
		{"room at another", []string{"t1"}, nil, []string{"t1", "t2"}, "t2"},
		{"the other can't take it", []string{"t1"}, []string{"t2"}, []string{"t1", "", "t1", "t3"}, "t3"},
		{"no room", []string{"t1", "t2", "t3"}, nil, []string{"t1", "t2", "t3", ""}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, j, _ := brittleKeeper()
			d.now = time.Now
			j.Route.Goal = 100 * time.Millisecond
			pool := poolHashOf("orders")
			d.brittleView.Store(&brittleView{pools: map[uint32]brittlePool{pool: {4, time.Now().Add(-time.Minute), time.Now()}}, keepers: []string{"a"}})
			for i, id := range tt.full {
				d.keeper.Ask(t.Context(), time.Now, permit.Ask{Box: "b", Epoch: 1, Number: uint64(i + 1), Group: groupName(pool, 0), Targets: []permit.Target{{Key: incarnationKey(fleet.Incarnation{ID: id}), Places: 6}}, Bears: 4, BrittleFor: time.Minute})
			}
			var placed []string
			done := make(chan struct{})
			go func() {
				defer close(done)
				for m := range d.messages {
					if r, ok := m.(placementRequest); ok {
						answer := placeAmong(r.ask, tt.unplaceable)
						placed = append(placed, answer.place.Target)
						r.reply <- answer
					}
				}
			}()
			began := time.Now()
			place, err := d.requestPlacement(t.Context(), deliver.PlacementRequest{Job: j})
			took := time.Since(began)
			close(d.messages)
			<-done
			if place.Target != tt.target || (err != nil) != (tt.target == "") {
				t.Errorf("it goes to %q: %v", place.Target, err)
			}
			if !slices.Equal(placed, tt.placed) {
				t.Errorf("it was placed at %q, want %q", placed, tt.placed)
			}
			if most := permitWait(j) + 25*time.Millisecond; took > most {
				t.Errorf("it waited %v, of %v", took, most)
			}
			want := len(tt.full)
			if tt.target != "" {
				want++
			}
			if held, _ := d.keeper.Held(); held != want {
				t.Errorf("%d permits are held, want %d", held, want)
			}
		})
	}
}

// placeAmong places a request at the first of three targets that it is not denied.
func placeAmong(request deliver.PlacementRequest, unplaceable []string) placementAnswer {
	var place deliver.Placement
	for _, id := range []string{"t1", "t2", "t3"} {
		switch {
		case slices.Contains(request.Denied, id), request.Only != "" && request.Only != id, slices.Contains(unplaceable, id) && request.Only == id:
		case place.Target == "":
			place.Target, place.Slots = id, 6
		default:
			place.Alternatives = append(place.Alternatives, deliver.Alternative{Target: id, Slots: 6})
		}
	}
	if place.Target == "" {
		return placementAnswer{err: refusal.New(refusal.DidNotRun, 503, codeCrowded, "no room")}
	}
	return placementAnswer{place: place}
}

// TestEngineAlternatives guards against requests to brittle engines that ask for the room of one after the
// other, each time with a call to a hub. It has an engine with old weights be no alternative.
func TestEngineAlternatives(t *testing.T) {
	d := boxWithEngines("a")
	for id, version := range map[string]int64{"e1": 2, "e4": 0} {
		d.tables.fleet.Upsert(start, engine(id, version))
	}
	if place := placeEngine(t, d); len(place.Alternatives) > 0 {
		t.Errorf("alternatives where nothing is brittle: %+v", place.Alternatives)
	}
	d.tables.brittlePools[poolHashOf("models")] = &brittlePool{bears: 4, since: start, saidAt: start}
	place := placeEngine(t, d)
	var got []string
	for _, x := range place.Alternatives {
		got = append(got, x.Target)
	}
	if len(got) != 2 || slices.Contains(got, "e4") || slices.Contains(got, place.Target) || got[0] != place.NextBest {
		t.Errorf("placed at %s, next best %s, alternatives %q", place.Target, place.NextBest, got)
	}
}

func placeEngine(t *testing.T, d *Daemon) deliver.Placement {
	t.Helper()
	place, refused := d.placeModel(start, &d.tables, deliver.PlacementRequest{Job: job("long", 10)})
	if refused != nil {
		t.Fatal(refused)
	}
	return place
}

// TestPausedPool guards against requests that cost calls to hubs though all their targets had no room a moment
// ago.
func TestPausedPool(t *testing.T) {
	j := job("long", 10)
	tests := []struct {
		name    string
		urgent  bool
		paused  []string
		refused bool
	}{
		{"all engines had no room", false, []string{"a", "b"}, true},
		{"one had not been asked for", false, []string{"a"}, false},
		{"they had none for less urgent requests", true, []string{"a", "b"}, false},
	}
	for _, tt := range tests {
		spoke := boxWithEngines("box-05")
		spoke.spoke.Store(true)
		urgency := urgencyOf(j)
		if tt.urgent {
			urgency++
		}
		var targets []permit.Target
		for _, id := range tt.paused {
			targets = append(targets, permit.Target{Key: incarnationKey(spoke.tables.fleet.Target(id).Incarnation())})
		}
		spoke.permits.pause(targets, start.Add(time.Second), urgency)
		reply := make(chan placementAnswer, 1)
		calls := spoke.placementRequested(start, &spoke.tables, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
		if refused := len(reply) > 0; refused != tt.refused || len(calls) > 0 == refused {
			t.Errorf("%s: refused %v, want %v, with %d calls", tt.name, refused, tt.refused, len(calls))
		}
	}
}
