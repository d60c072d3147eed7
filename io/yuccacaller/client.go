package yuccacaller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccaweb"
)

// lineLimit bounds one line of an answer; pieces are far shorter.
const lineLimit = 2 << 20

// Client calls daemons on behalf of one client account.
type Client struct {
	secret string
	http   *http.Client
}

// New returns a client that shows the account's secret.
func New(secret string) *Client {
	return &Client{secret: secret, http: &http.Client{Transport: &http.Transport{}}}
}

// Close lets idle connections go.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Answer is a whole answer with its marked end.
type Answer struct {
	ID   yuccaid.RequestID
	Data []byte
	End  yuccaweb.End
}

// RefusedError is a daemon's typed refusal.
type RefusedError struct {
	Status int
	yuccaweb.Detail
}

// Error repeats the daemon's words, which name the remedy.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("%s (HTTP %d, run: %s)", err.Message, err.Status, err.Run)
}

// BrokenError says that an answer can't be trusted as whole.
type BrokenError struct {
	Detail string
}

// Error names what is wrong with the answer.
func (err *BrokenError) Error() string {
	return "answer is not whole: " + err.Detail + ": ask for the outcome and fetch the answer again"
}

// Open draws a request id at a daemon's caller address.
func (cl *Client) Open(ctx context.Context, address string) (yuccaid.RequestID, error) {
	reply, err := cl.do(ctx, http.MethodPost, address, "/v1/requests", nil)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	var opened yuccaweb.Opened
	err = json.NewDecoder(reply.Body).Decode(&opened)
	return opened.ID, eris.Wrap(err, "reading the opened request")
}

// Submit runs an opened request through any daemon and returns its whole answer.
func (cl *Client) Submit(ctx context.Context, address string, id yuccaid.RequestID, req yuccadaemon.Request) (*Answer, error) {
	return cl.answer(ctx, http.MethodPost, address, "/v1/requests/"+string(id), &req, id)
}

// Run opens and submits in one call.
func (cl *Client) Run(ctx context.Context, address string, req yuccadaemon.Request) (*Answer, error) {
	return cl.answer(ctx, http.MethodPost, address, "/v1/run", &req, "")
}

// Fetch returns the answer of a request that was submitted before.
func (cl *Client) Fetch(ctx context.Context, address string, id yuccaid.RequestID) (*Answer, error) {
	return cl.answer(ctx, http.MethodGet, address, "/v1/requests/"+string(id)+"/answer", nil, id)
}

// Outcome tells what is known of a request.
func (cl *Client) Outcome(ctx context.Context, address string, id yuccaid.RequestID) (yuccaweb.End, error) {
	return cl.end(ctx, http.MethodGet, address, id)
}

// Abort gives a request up.
func (cl *Client) Abort(ctx context.Context, address string, id yuccaid.RequestID) (yuccaweb.End, error) {
	return cl.end(ctx, http.MethodDelete, address, id)
}

func (cl *Client) end(ctx context.Context, method, address string, id yuccaid.RequestID) (yuccaweb.End, error) {
	var end yuccaweb.End
	reply, err := cl.do(ctx, method, address, "/v1/requests/"+string(id), nil)
	if err != nil {
		return end, err
	}
	defer reply.Body.Close()
	err = json.NewDecoder(reply.Body).Decode(&end)
	return end, eris.Wrap(err, "reading the outcome")
}

func (cl *Client) answer(ctx context.Context, method, address, path string, req *yuccadaemon.Request, id yuccaid.RequestID) (*Answer, error) {
	reply, err := cl.do(ctx, method, address, path, req)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	if id == "" {
		id = yuccaid.RequestID(reply.Header.Get(yuccaweb.HeaderRequest))
	}
	return readAnswer(reply, id)
}

// line is a piece or the end, told apart by the end mark.
type line struct {
	yuccaweb.End
	Position int    `json:"position"`
	Data     string `json:"data"`
}

// readAnswer checks each line: an answer that lost, repeated or borrowed a piece must
// not look whole to the caller.
func readAnswer(reply *http.Response, id yuccaid.RequestID) (*Answer, error) {
	answer := &Answer{ID: id}
	lines := bufio.NewScanner(reply.Body)
	lines.Buffer(make([]byte, 0, 4096), lineLimit)
	next := 0
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var ln line
		if err := json.Unmarshal(lines.Bytes(), &ln); err != nil {
			return answer, &BrokenError{Detail: "a line is not JSON"}
		}
		if ln.ID != id {
			return answer, &BrokenError{Detail: "a line belongs to another request"}
		}
		if ln.End.End {
			answer.End = ln.End
			return answer, answer.check(next)
		}
		if ln.Position != next {
			return answer, &BrokenError{Detail: fmt.Sprintf("piece %d came where %d was due", ln.Position, next)}
		}
		answer.Data = append(answer.Data, ln.Data...)
		next++
	}
	return answer, &BrokenError{Detail: "it stopped without an end"}
}

func (ans *Answer) check(pieces int) error {
	if ans.End.Partial || ans.End.Run != "ran" {
		return nil
	}
	sum := sha256.Sum256(ans.Data)
	if pieces != ans.End.Pieces || hex.EncodeToString(sum[:]) != ans.End.Hash {
		return &BrokenError{Detail: "count or hash differ"}
	}
	return nil
}

func (cl *Client) do(ctx context.Context, method, address, path string, req *yuccadaemon.Request) (*http.Response, error) {
	var body bytes.Buffer
	if req != nil {
		if err := json.NewEncoder(&body).Encode(req); err != nil {
			return nil, eris.Wrap(err, "writing the request")
		}
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &body)
	if err != nil {
		return nil, eris.Wrap(err, "building the call")
	}
	call.Header.Set("Authorization", "Bearer "+cl.secret)
	call.Header.Set("Content-Type", "application/json")
	reply, err := cl.http.Do(call)
	if err != nil {
		return nil, eris.Wrap(err, "calling the daemon: try another one")
	}
	if reply.StatusCode < http.StatusBadRequest {
		return reply, nil
	}
	defer reply.Body.Close()
	var failure yuccaweb.Failure
	if err := json.NewDecoder(reply.Body).Decode(&failure); err != nil {
		return nil, eris.Wrapf(err, "reading a refusal with HTTP %d", reply.StatusCode)
	}
	return nil, &RefusedError{Status: reply.StatusCode, Detail: failure.Error}
}
