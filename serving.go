package gooseberrylock

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gooseberrylock/gooseberrylock/core/intake"
	"github.com/gooseberrylock/gooseberrylock/internal/ingress"
)

// serveHTTP serves callers or operators within the limits of the settings. name is the prefix of the metrics.
func (d *Daemon) serveHTTP(name string, s *http.Server, lis net.Listener) error {
	guard, err := ingress.New(d.ingressConfig(name))
	if err != nil {
		return eris.Wrapf(err, "limits at %s", lis.Addr())
	}
	guard.RegisterUsage(d.metrics.registry, name)
	if d.tls != nil {
		lis = tls.NewListener(lis, d.tls)
	}
	if err := guard.Serve(s, lis); err != nil && !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve HTTP at %s", lis.Addr())
	}
	return nil
}

func (d *Daemon) ingressConfig(name string) ingress.Config {
	limits := d.cfg.Settings.Limits
	refusals := ingress.NewMeters(d.metrics.registry, name)
	return ingress.Config{
		Intake: intake.Config{
			MaxConns: limits.MaxConnections, ConnBytes: ingress.SmallRequestBytes, MaxBytes: limits.MaxRequestMemory,
		},
		BodyTimeout:  ingress.DefaultBodyTimeout,
		WriteTimeout: ingress.DefaultWriteTimeout,
		Limits: func() ingress.Limits {
			return ingress.Limits{MaxHeaderBytes: limits.MaxHeader, HeaderTimeout: headerTimeout}
		},
		Observe: func(r ingress.Refusal) {
			refusals.Observe(r)
			d.log.logRefusal(name, r)
		},
	}
}
