package realm

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"lovagelink.example/lovagelink/internal/pack"
	"lovagelink.example/lovagelink/internal/route"
)

// maxConfigBytes limits a decoded configuration with its text, in bytes.
const maxConfigBytes = 128 << 20

// lengthBytes is the size of the length that precedes the decoded configuration.
const lengthBytes = 4

var errShortConfig = errors.New("packed configuration is shorter than its length says")

// packConfig returns the compressed form of an AcceptConfig command: the decoded configuration after its length, and
// the text that the operator sent. Both name the same routes, so that an entry of the log has a fraction of their size.
func packConfig(a *AcceptConfig) ([]byte, error) {
	config, err := json.Marshal(a.Config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", a.Config.Version, err)
	}
	message := binary.BigEndian.AppendUint32(nil, uint32(len(config)))
	message = append(message, config...)
	return pack.Pack(append(message, a.Body...))
}

func unpackConfig(packed []byte) (*AcceptConfig, error) {
	message, err := pack.Unpack(packed, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	if len(message) < lengthBytes {
		return nil, errShortConfig
	}
	length := int64(binary.BigEndian.Uint32(message))
	message = message[lengthBytes:]
	if length > int64(len(message)) {
		return nil, errShortConfig
	}
	a := &AcceptConfig{Body: message[length:]}
	var config route.Config
	if err := json.Unmarshal(message[:length], &config); err != nil {
		return nil, fmt.Errorf("decode packed configuration: %w", err)
	}
	a.Config = config
	return a, nil
}

// NewAcceptPacked returns a command that puts a configuration in force, with the configuration compressed. Hosts of
// releases without it skip it, so it may be proposed only where all members understand it.
func NewAcceptPacked(a *AcceptConfig) (Command, error) {
	packed, err := packConfig(a)
	return Command{AcceptPacked: packed}, err
}
