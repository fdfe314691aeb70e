package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/routing"
)

// TestOneLateAnswerRefusesNobody guards against a service counting as congested after one answer that
// was late by itself.
func TestOneLateAnswerRefusesNobody(t *testing.T) {
	tests := []struct {
		name    string
		late    int
		refused bool
	}{
		{"one late answer", 1, false},
		{"ten late answers", 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithThreeDomains()
			d.random = func() float64 { return 0 }
			job := &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{Goal: 200 * time.Millisecond}, Pool: &routing.Pool{Name: "orders"}}
			now := start
			answer := func(took time.Duration) {
				place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job, Attempted: []string{"i-c"}})
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(took)
				d.update(now, answerBegan{place})
				d.update(now, attemptEnded{deliver.AttemptResult{Place: place, Job: job, Began: true, Answered: true}})
			}
			for range 20 {
				answer(3 * time.Millisecond)
			}
			for range tt.late {
				answer(1200 * time.Millisecond)
			}
			if _, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job}); (err != nil) != tt.refused {
				t.Errorf("placing ended with %v", err)
			}
		})
	}
}
