package logsink

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &buffer{}
	s := New(out)
	var want strings.Builder
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		s.Write([]byte(line))
	}
	s.Close(5 * time.Second)
	require.Equal(t, want.String(), out.String())
	require.Zero(t, s.Dropped())
}

// TestWriteDoesNotBlockOnFullPipe guards against callers blocked by a full pipe: excess
// lines must be dropped and counted, and the count logged once the pipe is read.
func TestWriteDoesNotBlockOnFullPipe(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	s := New(writer, WithBounds(100, 1<<20))
	line := []byte(strings.Repeat("x", 1000) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5000 {
			s.Write(line)
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the reader")
	}
	require.Greater(t, s.Dropped(), 4000) // the pipe and the queue hold far fewer than 1000 lines
	output := make(chan string)
	go func() {
		var all bytes.Buffer
		chunk := make([]byte, 64<<10)
		for !strings.Contains(all.String(), "Log lines dropped") {
			n, err := reader.Read(chunk)
			if err != nil {
				break
			}
			all.Write(chunk[:n])
		}
		output <- all.String()
	}()
	select {
	case text := <-output:
		require.Contains(t, text, "lines=")
	case <-time.After(10 * time.Second):
		t.Fatal("number of dropped lines not logged")
	}
}

func TestCloseDoesNotWaitForFullPipe(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	s := New(writer)
	s.Write(bytes.Repeat([]byte("x"), 400<<10))
	start := time.Now()
	s.Close(20 * time.Millisecond)
	require.Less(t, time.Since(start), 5*time.Second)
}

func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	defer writer.Close()
	s := New(writer)
	for range 3 {
		s.Write([]byte("line\n"))
	}
	s.Close(5 * time.Second)
	require.Equal(t, 3, s.Dropped())
}
