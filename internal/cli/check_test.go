package cli

import (
	"bytes"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock"
	"github.com/gooseberrylock/gooseberrylock/settings"
)

// startDaemon loads the settings and creates the daemon as gooseberrylockd does, but does not
// serve.
func startDaemon(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	_, err = gooseberrylock.New(gooseberrylock.Config{Settings: *s})
	return err
}

// TestCheckAgreesWithDaemon guards against check accepting settings that a daemon rejects, or
// the reverse.
func TestCheckAgreesWithDaemon(t *testing.T) {
	const text = `{
  "vm": "a", "group": "g", "zone": "z", "store": {"url": "http://127.0.0.1:1"}, %s
  "addresses": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
}`
	for _, tc := range []struct {
		name, extra string
		ok          bool
	}{
		{"valid", ``, true},
		{"unknown field", `"x": 1,`, false},
		{"missing certificate", `"tls": {"cert": "none.pem", "key": "none.pem"},`, false},
		{"duration", `"timing": {"grace": "1200"},`, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "s.jsonc")
			is.NoErr(os.WriteFile(file, fmt.Appendf(nil, text, tc.extra), 0o600))
			var out, errOut bytes.Buffer
			code := Main([]string{"check", "--settings", file}, &out, &errOut)
			err := startDaemon(file)
			is.Equal(err == nil, tc.ok)
			is.Equal(code == ExitOK, tc.ok)
			if err != nil {
				is.True(strings.Contains(errOut.String(), err.Error()))
			}
		})
	}
}

// TestCheckTemplate guards against check exiting with 0 for an invalid template.
func TestCheckTemplate(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "t.jsonc")
	is.NoErr(os.WriteFile(file, []byte("{\n\"customer\": \"x\"}"), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"check", "--template", file}, &out, &errOut), ExitUsage)
	is.True(strings.Contains(errOut.String(), file+":1: field \"zones\""))
}

// TestTLSFlags guards against commands that cannot reach a daemon over TLS, or that accept a
// certificate of an unknown CA.
func TestTLSFlags(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(`{"step": "test", "reason": "reached"}`))
	}))
	defer srv.Close()
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	ca := filepath.Join(t.TempDir(), "ca.pem")
	is.NoErr(os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw}), 0o600))
	var errOut bytes.Buffer
	is.Equal(Main([]string{"status", "--daemon", srv.URL, "--ca", ca}, io.Discard, &errOut), ExitFailed)
	is.True(strings.Contains(errOut.String(), "reached"))
	errOut.Reset()
	is.True(Main([]string{"status", "--daemon", srv.URL}, io.Discard, &errOut) != ExitOK)
	is.True(strings.Contains(errOut.String(), "certificate"))
	is.Equal(Main([]string{"status", "--daemon", srv.URL, "--ca", ca + "x"}, io.Discard, &errOut), ExitUsage)
}
