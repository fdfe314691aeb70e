package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/routing"
)

// TestLateAnswersRefuse guards against a service counting as congested after one answer that was late by
// itself, or while permits keep its targets' queues short, so that only boxes are slow.
func TestLateAnswersRefuse(t *testing.T) {
	tests := []struct {
		name    string
		late    int
		brittle bool
		refused bool
	}{
		{"one late answer", 1, false, false},
		{"ten late answers", 10, false, true},
		{"ten late answers of brittle targets", 10, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithThreeDomains()
			if tt.brittle {
				d.tables.brittlePools[poolHashOf("orders")] = &brittlePool{bears: 4, since: start, saidAt: start}
			}
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
