package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers of a single connection (RFC 9110, section 7.6.1), which are not forwarded. This
// process handles Expect itself: the server sends 100 Continue when the first attempt begins to read the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// reservedHeaders are the headers that only this process may set in requests to a backend server, and the header with
// the caller's key.
var reservedHeaders = []string{"Authorization", HeaderTeam, HeaderRequestID, "Request-Id", "Lease-Id"}

// forwardedHeader returns the header that is sent to the backend server.
func forwardedHeader(in http.Header, team string) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	for name := range out {
		// Some servers treat "_" as "-", so that they would accept Pollenlead_Team as Pollenlead-Team.
		canonical := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if slices.Contains(reservedHeaders, canonical) {
			delete(out, name)
		}
	}
	out.Set(HeaderTeam, team)
	return out
}

func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
