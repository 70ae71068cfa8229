package ingress

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// minRetryAfter and maxRetryAfter bound the time after which callers that were refused for lack of memory
// should return. It is spread, so that a refused crowd does not return all at once.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// retryAfter returns the value of a header Retry-After, in seconds.
func retryAfter() string {
	wait := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// Overloaded answers a request that has not run, because the memory for requests is used up.
func Overloaded(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter())
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headTooLargeAnswer answers a request whose head is not read to its end.
const headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain\r\nContent-Length: 24\r\nConnection: close\r\n\r\nthe header is too large\n"

// overloadedAnswer returns what Overloaded answers, for a request whose head is not read to its end.
func overloadedAnswer() string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", retryAfter())
}
