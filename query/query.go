// Package query parses statements of the operators' language.
//
//	s, err := query.Parse(`show targets where pool = "menu"`)
//	if err != nil { // it names the position and what was expected
//	}
//	s.Show.Thing // "targets"
package query

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"
)

// Statement is one parsed statement. Exactly one field is set.
type Statement struct {
	Show   *Show   `parser:"  'show' @@"`
	Why    *string `parser:"| 'why' 'request' @(Word | String | Number)"`
	Who    *string `parser:"| 'who' 'holds' 'lease' @(Word | String)"`
	Create *Edit   `parser:"| 'create' @@"`
	Change *Edit   `parser:"| 'change' @@"`
	Remove *Edit   `parser:"| 'remove' @@"`
	Roll   *Roll   `parser:"| 'roll' @@"`
	Leave  *string `parser:"| 'leave' 'target' @(Word | String)"`
	Return *string `parser:"| 'return' 'target' @(Word | String)"`
	Help   bool    `parser:"| @'help'"`
}

// Show requests the rows of one kind.
type Show struct {
	Thing string       `parser:"@Word"`
	Where []Comparison `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	// Last limits the result to the last rows, if it is not zero.
	Last int `parser:"( 'last' @Number )?"`
}

// Comparison compares a column with a value.
type Comparison struct {
	Column string `parser:"@Word"`
	Sign   string `parser:"@( '=' | '!=' | '<' | '>' )"`
	Value  string `parser:"@( Word | String | Number )"`
}

// Edit creates, changes or removes one entity of the configuration.
type Edit struct {
	Kind string       `parser:"@( 'account' | 'pool' | 'model' )"`
	Name string       `parser:"@( Word | String )"`
	Set  []Assignment `parser:"( 'set' @@ ( ',' @@ )* )?"`
	// IfRevision, if it is not zero, is the revision that must be current.
	IfRevision uint64 `parser:"( 'if' 'revision' '=' @Number )?"`
}

// Assignment assigns a value to a field: Value, or List for a list.
type Assignment struct {
	Field string   `parser:"@Word '='"`
	Value *Literal `parser:"( @@"`
	List  []string `parser:"| '[' ( @( Word | String | Number ) ( ',' @( Word | String | Number ) )* )? ']' )"`
}

// Literal is a single value.
type Literal struct {
	Number *string `parser:"  @Number"`
	Text   *string `parser:"| @( Word | String )"`
}

// Roll starts a rollout of a weight version to a pool.
type Roll struct {
	Pool       string `parser:"'pool' @( Word | String )"`
	Version    string `parser:"'to' @( Word | String )"`
	IfRevision uint64 `parser:"( 'if' 'revision' '=' @Number )?"`
}

// JSON returns the assigned value as JSON.
func (a Assignment) JSON() string {
	if a.Value == nil {
		quoted := make([]string, len(a.List))
		for i, text := range a.List {
			quoted[i] = strconv.Quote(text)
		}
		return "[" + strings.Join(quoted, ",") + "]"
	}
	if a.Value.Number != nil {
		return *a.Value.Number
	}
	if text := *a.Value.Text; text == "true" || text == "false" {
		return text
	}
	return strconv.Quote(*a.Value.Text)
}

// Help is the answer to the statement help.
const Help = `show THING [where COLUMN = VALUE [and ...]] [last N]
    THING: boxes domains targets pools models accounts limits stores kept
           leases claims charges audit refusals decisions
why request ID
who holds lease NAME
create|change account|pool|model NAME set FIELD = VALUE, ... [if revision = N]
remove account|pool|model NAME [if revision = N]
roll pool NAME to VERSION [if revision = N]
leave target NAME         (no new work for it)
return target NAME        (new work again)
help
Values: words, "text", numbers, true, false, [lists]. A column is compared by =, !=, < or >.`

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_./:-]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Sign", Pattern: `!=|[=<>,\[\]]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens), participle.Unquote("String"), participle.UseLookahead(2),
)

// maxStatement bounds a statement, in bytes.
const maxStatement = 64 << 10

// Parse parses one statement. The error names the column and may have a suggestion.
func Parse(text string) (Statement, error) {
	if len(text) > maxStatement {
		return Statement{}, trace.BadParameter("statement exceeds %d bytes", maxStatement)
	}
	s, err := parser.ParseString("", text)
	if err == nil {
		return *s, nil
	}
	var at participle.Error
	if !errors.As(err, &at) {
		return Statement{}, trace.BadParameter("%v", err)
	}
	hint := ""
	if first, _, _ := strings.Cut(strings.TrimSpace(text), " "); first != "" {
		if near := Nearest(first, []string{"show", "why", "who", "create", "change", "remove", "roll", "leave", "return", "help"}); near != "" && near != first {
			hint = "; did you mean " + strconv.Quote(near) + "?"
		}
	}
	return Statement{}, trace.BadParameter("column %d: %s%s", at.Position().Column, at.Message(), hint)
}

// Nearest returns the known word with the smallest edit distance to a word, or "" if none
// is close.
func Nearest(word string, known []string) string {
	const maxDistance = 2
	best, distance := "", maxDistance+1
	for _, k := range known {
		if d := editDistance(word, k); d < distance {
			best, distance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
