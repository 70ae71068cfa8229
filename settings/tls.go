package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Load reads the PEM files and returns a configuration for both servers and clients, or nil if no file
// is set. If CA is set, both ends must present a certificate that is signed by it.
func (s TLS) Load() (*tls.Config, error) {
	if s == (TLS{}) {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.Cert != "" || s.Key != "" {
		cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return nil, eris.Wrapf(err, "tls.cert %s with tls.key %s", s.Cert, s.Key)
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	if s.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, eris.Wrapf(err, "tls.ca %s", s.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("tls.ca %s holds no certificate in PEM format", s.CA)
	}
	cfg.RootCAs = pool
	cfg.ClientCAs = pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}
