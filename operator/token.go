package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
)

// maxTokenBytes bounds the token file.
const maxTokenBytes = 4096

// Authorizer decides which requests may change state.
type Authorizer struct {
	tokenFile string
	loopback  bool
}

// NewAuthorizer returns the Authorizer of a listener. Without a token file,
// changes are accepted only on a loopback listener. The file is read for each
// change, so that a new token needs no restart.
func NewAuthorizer(tokenFile string, listener net.Addr) *Authorizer {
	tcp, ok := listener.(*net.TCPAddr)
	return &Authorizer{tokenFile: tokenFile, loopback: ok && tcp.IP.IsLoopback()}
}

// Check returns a *Problem unless r may change state.
func (a *Authorizer) Check(r *http.Request) error {
	if a.tokenFile == "" {
		if a.loopback {
			return nil
		}
		return newProblem(http.StatusForbidden, "changes need a token: operator_token_file is not set, and the listener is not on a loopback address")
	}
	want, err := ReadToken(a.tokenFile)
	if err != nil {
		return newProblem(http.StatusForbidden, "changes are refused: the node cannot read its operator token")
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return newProblem(http.StatusUnauthorized, "this request needs the header Authorization: Bearer TOKEN")
	}
	// Hashes have equal lengths, so the comparison does not reveal the length of
	// the token.
	g, w := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	if subtle.ConstantTimeCompare(g[:], w[:]) != 1 {
		return newProblem(http.StatusUnauthorized, "the token is not valid")
	}
	return nil
}

// ReadToken reads a token from a file and trims surrounding white space.
func ReadToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || len(token) > maxTokenBytes {
		return "", fmt.Errorf("read token: %s is empty or longer than %d bytes", file, maxTokenBytes)
	}
	return token, nil
}
