package upstreamserver

import (
	"encoding/json"
	"os"
	"sync"
)

// Acceptance is one line of the acceptance log: an order that passed the
// upstream's checks.
type Acceptance struct {
	Upstream     string `json:"upstream"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	Shard        uint64 `json:"shard"`
	Epoch        uint64 `json:"epoch"`
	RequestID    string `json:"requestId"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	// Attempt is the daemon's number of the attempt.
	Attempt         string `json:"attempt"`
	StartUnixMicros int64  `json:"startUnixMicros"`
	EndUnixMicros   int64  `json:"endUnixMicros"`
	// Effect says that the order ran to its end. It is false for an order that
	// was cancelled, or whose deadline or grant passed before its effect.
	Effect bool `json:"effect"`
	// Sequence numbers the lines of one process, from 1.
	Sequence uint64 `json:"sequence"`
}

// acceptanceLog appends lines to a file. The zero value drops them.
type acceptanceLog struct {
	mutex    sync.Mutex
	file     *os.File
	sequence uint64
}

// open appends to the file at path, which is made if it is missing.
func (l *acceptanceLog) open(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

// append appends one line, before the order is answered.
func (l *acceptanceLog) append(line Acceptance) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.file == nil {
		return nil
	}
	l.sequence++
	line.Sequence = l.sequence
	encoded, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, err = l.file.Write(append(encoded, '\n'))
	return err
}

func (l *acceptanceLog) close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
