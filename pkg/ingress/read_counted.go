package ingress

import (
	"errors"
	"io"
)

// readCounted reads to the end, but no more than most bytes, into memory that grows as needed. grow is called with the
// present size of the memory, counts what it grows by, and returns the new size, or false if there is no room for that:
// reading stops then. whole is set if the end was reached. The capacity of data is what grow has counted.
func readCounted(from io.Reader, most int, grow func(size int) (grown int, held bool)) (data []byte, whole bool, err error) {
	for len(data) < most {
		if len(data) == cap(data) {
			grown, held := grow(cap(data))
			if !held {
				return data, false, nil
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, err
		}
	}
	return data, false, nil
}
