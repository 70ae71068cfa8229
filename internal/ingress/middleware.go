package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// LimitBodies returns a handler that receives the body of each request, of at most maxBytes bytes, before it calls
// next. It is for handlers that would read a body of any size.
func LimitBodies(maxBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body, err := ReadBody(r, maxBytes, DefaultBodyTimeout)
		if err != nil {
			refuseBody(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		next.ServeHTTP(w, r)
	})
}

// refuseBody answers a request whose body has not been received. It has not run.
func refuseBody(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrOverloaded) {
		Overloaded(w)
		return
	}
	status := BodyErrorStatus(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]string{"error_message": err.Error()})
}

// BodyErrorStatus returns the HTTP status for a request whose body could not be read because of err, other than
// ErrOverloaded, for which Overloaded answers. With each of them the request has not run.
func BodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBodyTimeout):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
