package upstreamserver

import (
	"encoding/json"
	"os"
	"sync"
)

// Acceptance is one line of the acceptance log. It records a request that the upstream
// accepted.
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
	// Attempt is the number of the attempt, as sent by the daemon.
	Attempt         string `json:"attempt"`
	StartUnixMicros int64  `json:"startUnixMicros"`
	EndUnixMicros   int64  `json:"endUnixMicros"`
	// TookEffect reports whether the request was processed to its end. It is false for a
	// request that was cancelled, or whose deadline or grant expired before it took
	// effect.
	TookEffect bool `json:"effect"`
	// Sequence is the number of the line among those of the process, from 1.
	Sequence uint64 `json:"sequence"`
}

// acceptanceLog appends lines to a file. The zero value discards them.
type acceptanceLog struct {
	mutex    sync.Mutex
	file     *os.File
	sequence uint64
}

// open opens the file at path for appending and creates it if it is missing. An empty
// path means no log.
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

// append numbers line and writes it to the file.
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
