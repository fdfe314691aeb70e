package measure

import (
	"fmt"
	"time"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/pool"
)

// Sizes and rates of the simulated engines and store boxes, the same for both
// deployments.
const (
	pieceTokens = 2000
	// pieceKV is the KV cache of one piece, in bytes.
	pieceKV = 64 << 20
	slots   = 16
	// prefillRate is an engine's prefill, in prompt tokens a second.
	prefillRate = 20000
	tokenTime   = 27 * time.Millisecond
	// enginePieces bounds an engine's prefix cache.
	enginePieces = 60
	// memoryRate and diskRate are the rates of a store box's links, in bytes a second.
	memoryRate = 4e9
	diskRate   = 1e9
	// storeMemory and storeDisk are the sizes of a store box's tiers, in pieces.
	storeMemory    = 200
	storeDisk      = 900
	reportInterval = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
)

// Deployment is one of the users' deployments as it is simulated.
type Deployment struct {
	Name string
	// Weights is the pool's policy.
	Weights    pool.Policy
	Replicas   int
	Domains    int
	StoreBoxes int
	// Rate is the number of model requests a second.
	Rate float64
	// Prompts is the number of recurring prompts, MinPieces to MaxPieces their size.
	Prompts, MinPieces, MaxPieces int
	// Tokens is the mean length of an answer.
	Tokens int
	// OneOffShare is the share of requests whose prompt does not recur.
	OneOffShare float64
	// Accounts is the number of client accounts. The first two are large.
	Accounts int
}

// The deployments.
var (
	// LutongBahay has short prompts and gives the time to first token the most weight.
	LutongBahay = Deployment{
		Name: "lutong-bahay", Weights: pool.Policy{FirstToken: 4, Recompute: 1, Link: 1},
		Replicas: 9, Domains: 3, StoreBoxes: 2, Rate: 24, Prompts: 500, MinPieces: 1, MaxPieces: 4,
		Tokens: 60, OneOffShare: 0.2, Accounts: 10,
	}
	// Sonora has long prompts and gives recomputation and links more weight.
	Sonora = Deployment{
		Name: "sonora", Weights: pool.Policy{FirstToken: 1, Recompute: 3, Link: 2},
		Replicas: 9, Domains: 3, StoreBoxes: 2, Rate: 6, Prompts: 180, MinPieces: 4, MaxPieces: 14,
		Tokens: 150, OneOffShare: 0.2, Accounts: 10,
	}
)

// duration is the simulated time.
func (d Deployment) duration() time.Duration { return 20 * time.Minute }

func (d Deployment) accounts() map[string]account.Account {
	all := make(map[string]account.Account, d.Accounts)
	for i := range d.Accounts {
		name := accountName(i)
		all[name] = account.Account{Name: name, Weight: 1}
	}
	return all
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }
