package yuccawire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"

	"yuccacleat/core/yuccaid"
)

// maxHello bounds what a stranger may make a daemon read.
const maxHello = 1 << 10

// The role stands in the proof, so that an end can't be sent its own proof back.
const (
	roleDialler  = "yuccacleat dialler"
	roleAcceptor = "yuccacleat acceptor"
)

// HandshakeDial greets as the end that dialled and returns the proven peer's hello.
//
// The dialler proves itself first: a stranger who dials learns a greeting and no
// more. The digest covers both greetings whole, so neither a recorded handshake nor
// a changed version, purpose or address passes.
func HandshakeDial(conn io.ReadWriter, key yuccaid.Key, ours Hello) (Hello, error) {
	sent, err := greet(conn, key, ours)
	if err != nil {
		return Hello{}, err
	}
	theirs, got, err := readHello(conn)
	if err != nil {
		return Hello{}, err
	}
	if err := prove(conn, key, roleDialler, sent, got); err != nil {
		return Hello{}, err
	}
	return theirs, verify(conn, key, roleAcceptor, theirs, sent, got)
}

// HandshakeAccept answers as the end that was dialled and returns the proven peer's
// hello.
func HandshakeAccept(conn io.ReadWriter, key yuccaid.Key, ours Hello) (Hello, error) {
	theirs, got, err := readHello(conn)
	var version *VersionError
	if err != nil && !errors.As(err, &version) {
		return Hello{}, err
	}
	ours.Purpose = theirs.Purpose
	sent, greetErr := greet(conn, key, ours)
	if err != nil {
		// The dialler of another version still gets the greeting, so that its log
		// names both versions too.
		return Hello{}, err
	}
	if greetErr != nil {
		return Hello{}, greetErr
	}
	if err := verify(conn, key, roleDialler, theirs, got, sent); err != nil {
		return Hello{}, err
	}
	return theirs, prove(conn, key, roleAcceptor, got, sent)
}

func greet(conn io.Writer, key yuccaid.Key, ours Hello) ([]byte, error) {
	if len(key) == 0 {
		return nil, ErrNoKey
	}
	ours.Version = Version
	ours.Challenge = make([]byte, challengeBytes)
	if _, err := rand.Read(ours.Challenge); err != nil {
		return nil, err
	}
	raw, err := Encode(KindHello, ours)
	if err != nil {
		return nil, err
	}
	_, err = conn.Write(raw)
	return raw[headerBytes:], err
}

func readHello(conn io.Reader) (Hello, []byte, error) {
	frame, err := ReadLimit(conn, maxHello)
	if err != nil {
		return Hello{}, nil, err
	}
	if frame.Kind != KindHello {
		return Hello{}, nil, &UnexpectedError{Want: KindHello, Got: frame.Kind}
	}
	var theirs Hello
	if err := frame.Decode(&theirs); err != nil {
		return Hello{}, nil, err
	}
	raw := append([]byte{pairCode, byte(KindHello)}, frame.Body...)
	return theirs, raw, theirs.check()
}

func prove(conn io.Writer, key yuccaid.Key, role string, dialler, acceptor []byte) error {
	return Write(conn, KindProof, Proof{Digest: digest(key, role, dialler, acceptor)})
}

func verify(conn io.Reader, key yuccaid.Key, role string, theirs Hello, dialler, acceptor []byte) error {
	frame, err := ReadLimit(conn, maxHello)
	var truncated *TruncatedError
	if errors.Is(err, io.EOF) || errors.As(err, &truncated) {
		// The other end hangs up without a word when our proof doesn't match its key.
		return &KeyError{Address: theirs.Address}
	}
	if err != nil {
		return err
	}
	if frame.Kind != KindProof {
		return &UnexpectedError{Want: KindProof, Got: frame.Kind}
	}
	var proof Proof
	if err := frame.Decode(&proof); err != nil {
		return err
	}
	if !hmac.Equal(proof.Digest, digest(key, role, dialler, acceptor)) {
		return &KeyError{Address: theirs.Address}
	}
	return nil
}

func digest(key yuccaid.Key, role string, dialler, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), dialler, acceptor} {
		sum := sha256.Sum256(part)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}
