package moves

import (
	"math"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// falseTakeBack bounds the probability that a move to a version that is not worse is
	// taken back for its evidence.
	falseTakeBack = 0.01

	// measures is the number of tests per route: failed, and slow.
	measures = 2

	// maxGroup is the size of the largest group. Every daemon tests its own sum of the
	// evidence, so the bound is divided among them.
	maxGroup = 9

	// exactTail is the number of pairs up to which the binomial tail is summed. The sum
	// takes about 4*sqrt(n) terms; above, the normal approximation is within 0.1% for the
	// ratios that matter.
	exactTail = 1_000_000

	// negligible is the size of a term, relative to the sum, below which summing stops.
	negligible = 1e-17
)

// threshold returns the logarithm of the likelihood ratio at which a move with this many
// routes is withheld.
func threshold(routes int) float64 {
	return math.Log(float64(routes) * measures * maxGroup / falseTakeBack)
}

// logRatio returns the logarithm of the mixture likelihood ratio of a discordant pairs
// against the new version and b against the old one. The numerator averages the
// likelihood over p uniform in (1/2, 1), the denominator has p = 1/2:
//
//	2^(n+1) * integral of p^a (1-p)^b over (1/2, 1)
//	  = 2^(n+1) * B(a+1, b+1) * P(X <= a), X binomial with n+1 trials and p = 1/2
//
// where n = a+b.
func logRatio(a, b uint64) float64 {
	x, y := float64(a), float64(b)
	n := x + y
	lx, _ := math.Lgamma(x + 1)
	ly, _ := math.Lgamma(y + 1)
	ln, _ := math.Lgamma(n + 2)
	return (n+1)*math.Ln2 + lx + ly - ln + logTail(n+1, x)
}

// maxRatio returns an upper bound of the logarithm of the ratio that is cheap to compute:
// a mixture is at most the likelihood at its best p, here NewWorse/n.
func maxRatio(p model.PairCounts) float64 {
	if p.NewWorse <= p.OldWorse {
		return 0
	}
	a, b := float64(p.NewWorse), float64(p.OldWorse)
	bound := a * math.Log(2*a/(a+b))
	if b > 0 {
		bound += b * math.Log(2*b/(a+b))
	}
	return bound
}

// logTail returns log P(X <= a) for X binomial with n trials and p = 1/2.
func logTail(n, a float64) float64 {
	if n > exactTail {
		return math.Log(0.5 * math.Erfc((n-2*a-1)/math.Sqrt(2*n)))
	}
	if 2*a < n {
		return logTerm(n, a) + math.Log(tailSum(n, a))
	}
	if a >= n {
		return 0
	}
	// X and n-X have the same distribution, so P(X > a) = P(X <= n-a-1).
	upper := logTerm(n, n-a-1) + math.Log(tailSum(n, n-a-1))
	return math.Log1p(-math.Exp(upper))
}

// logTerm returns log P(X = k).
func logTerm(n, k float64) float64 {
	ln, _ := math.Lgamma(n + 1)
	lk, _ := math.Lgamma(k + 1)
	lm, _ := math.Lgamma(n - k + 1)
	return ln - lk - lm - n*math.Ln2
}

// tailSum returns P(X <= a) / P(X = a) for a below n/2, where the terms fall towards 0.
func tailSum(n, a float64) float64 {
	sum, term := 1.0, 1.0
	for k := a; k > 0; k-- {
		term *= k / (n - k + 1)
		sum += term
		if term < negligible*sum {
			break
		}
	}
	return sum
}
