package moves

import (
	"math"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// falseRollbackProbability is an upper bound of the probability that a move to a version
	// that is not worse is rolled back because of its pairs.
	falseRollbackProbability = 0.01

	// falseRankProbability is the same for all its ranks, of which a few are enough even so, and again for
	// the ranks since a sample.
	falseRankProbability = 0.001

	// testsPerRoute counts the test of failed queries and the test of slow queries.
	testsPerRoute = 2

	// maxGroupSize is the maximum number of VMs in a group. Every VM tests its own sum of the
	// evidence, so falseRollbackProbability is divided by this number.
	maxGroupSize = 9

	// maxExactPairs is the largest number of trials for which logTail sums the terms of the
	// binomial distribution, about 4*sqrt(n) of them. Above it, the error of the normal
	// approximation is below 0.1% for ratios near the threshold.
	maxExactPairs = 1_000_000

	// negligibleTerm is the ratio of a term to the sum below which tailSum stops.
	negligibleTerm = 1e-17
)

// logRatioThreshold returns the logarithm of the likelihood ratio from which on a move with
// this number of routes is withheld.
func logRatioThreshold(routes int) float64 {
	return math.Log(float64(routes) * testsPerRoute * maxGroupSize / falseRollbackProbability)
}

// logRatio returns the logarithm of the mixture likelihood ratio for a pairs in which the new
// version was worse and b pairs in which the old version was worse. p is the probability that
// the new version is the worse one of such a pair. The numerator averages the likelihood
// over p uniform in (1/2, 1), the denominator has p = 1/2:
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

// logRatioBound returns an upper bound of logRatio that is cheaper to compute: an average of
// likelihoods is at most the maximum likelihood, which is at p = NewWorse/n.
func logRatioBound(p model.PairCounts) float64 {
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

// rankBets are the shares of a stake that are bet on the next outcome of the new version being the slowest.
// A large bet finds a version that always is after a few outcomes, a small one a version that often is.
var rankBets = [...]float64{0.25, 0.5, 0.9}

// logRankRatio returns the logarithm of the likelihood ratio of the ranks: what has become, on average over
// rankBets, of a stake of 1 if this share of it was bet at each outcome. The odds are fair for a new version
// that is not slower: to be the slowest of n neighbours and itself pays n times the bet.
func logRankRatio(c model.RankCounts) float64 {
	var logs [len(rankBets)]float64
	for i, bet := range rankBets {
		logs[i] = logStake(c, bet)
	}
	largest := slices.Max(logs[:])
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(rankBets)))
}

// logStake returns the logarithm of what has become of a stake of 1.
func logStake(c model.RankCounts, bet float64) float64 {
	sum := 0.0
	for i := range c.Trials {
		slowest := float64(c.Slowest[i])
		sum += slowest*math.Log1p(bet*float64(i+1)) + (float64(c.Trials[i])-slowest)*math.Log1p(-bet)
	}
	return sum
}

// logRankThreshold returns the logarithm of the likelihood ratio of the ranks from which on a move with this
// number of routes is withheld.
func logRankThreshold(routes int) float64 {
	return math.Log(float64(routes) * maxGroupSize / falseRankProbability)
}

// logTail returns log P(X <= a) for X binomial with n trials and p = 1/2.
func logTail(n, a float64) float64 {
	if n > maxExactPairs {
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
		if term < negligibleTerm*sum {
			break
		}
	}
	return sum
}
