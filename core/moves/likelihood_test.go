package moves

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestLogRatio guards against a closed form of the likelihood ratio that differs from the
// integral, and against an upper bound below it.
func TestLogRatio(t *testing.T) {
	tests := []struct{ a, b uint64 }{
		{0, 0}, {1, 0}, {0, 1}, {5, 3}, {3, 5}, {20, 2}, {2, 20}, {100, 100}, {180, 120}, {900, 1000},
		{5000, 4600}, {4900, 5000}, {499_999, 499_999}, {500_900, 499_100}, {600_000, 598_000},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d to %d", tt.a, tt.b), func(t *testing.T) {
			is := is.New(t)
			got, want := logRatio(tt.a, tt.b), integrate(float64(tt.a), float64(tt.b))
			t.Logf("%.6f, by integration %.6f", got, want)
			is.True(math.Abs(got-want) < 2e-3)
			is.True(tt.a <= tt.b || logRatioBound(model.PairCounts{NewWorse: tt.a, OldWorse: tt.b}) >= got)
		})
	}
}

// integrate returns the logarithm of the mean of 2^n p^a (1-p)^b over p in (1/2, 1), by
// numerical integration.
func integrate(a, b float64) float64 {
	const steps = 200_000
	f := func(p float64) float64 {
		l := (a + b) * math.Ln2
		if a > 0 {
			l += a * math.Log(p)
		}
		if b > 0 {
			l += b * math.Log1p(-p)
		}
		return l
	}
	peak := f(min(max(a/max(a+b, 1), 0.5), 1-1e-12))
	sum := 0.0
	for i := range steps {
		sum += math.Exp(f(0.5+0.5*(float64(i)+0.5)/steps) - peak)
	}
	return peak + math.Log(sum/steps)
}

// TestLogRatioExtremes guards against overflow, and against a ratio that does not increase
// with the number of pairs in which the new version is worse.
func TestLogRatioExtremes(t *testing.T) {
	is := is.New(t)
	for _, n := range []uint64{0, 1, 1000, 999_999, 1_000_000, 10_000_000, 1_000_000_000} {
		for _, a := range []uint64{0, n / 3, n / 2, n - n/3, n} {
			is.True(!math.IsNaN(logRatio(a, n-a)))
			is.True(!math.IsInf(logRatio(a, n-a), 1))
		}
	}
	last := math.Inf(-1)
	for a := uint64(0); a <= 2000; a++ {
		r := logRatio(a, 2000-a)
		is.True(r > last)
		last = r
	}
}

// BenchmarkLogRatio measures one likelihood test on one route.
func BenchmarkLogRatio(b *testing.B) {
	for _, n := range []uint64{100, 10_000, 900_000, 100_000_000} {
		b.Run(fmt.Sprintf("pairs=%d", n), func(b *testing.B) {
			for b.Loop() {
				_ = logRatio(n/2+n/50, n/2-n/50)
			}
		})
	}
}
