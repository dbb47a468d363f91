package responsehead

// state is where in a head a scanner is.
type state int

const (
	statusLine state = iota // before the reason phrase
	line                    // in the reason phrase or a field
	lineStart               // before a field, or the end of the head
	headEnd                 // before the LF of the head's last line
	ended                   // after the head of a final response
	malformed
)

// statusLineForm is the part of a status line before the reason phrase; # is a digit.
const statusLineForm = "HTTP/1.# ###"

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// switchingProtocols is the status of an interim response that answers only requests for another protocol.
const switchingProtocols = 101

// scanner follows the head of a response, with the interim responses before it.
type scanner struct {
	state  state
	column int // in the status line
	status int
}

// scan reads the next bytes up to the end of the head, and returns its state.
func (s *scanner) scan(b []byte) state {
	for _, c := range b {
		if s.state >= ended {
			break
		}
		s.state = s.next(c)
	}
	return s.state
}

// next returns the state after c.
func (s *scanner) next(c byte) state {
	switch s.state {
	case statusLine:
		return s.statusByte(c)
	case line, lineStart, headEnd:
		switch {
		case c == '\n' && s.state == line:
			return lineStart
		case c == '\n' && s.status < 200:
			*s = scanner{} // an interim response
			return statusLine
		case c == '\n':
			return ended
		case c == '\r' && s.state == lineStart:
			return headEnd
		}
		return line
	}
	return malformed
}

// statusByte returns the state after the byte c of the status line.
func (s *scanner) statusByte(c byte) state {
	if s.column == len(statusLineForm) {
		switch {
		case s.status < 100 || s.status > maxStatus || s.status == switchingProtocols:
			return malformed
		case c == ' ' || c == '\r':
			return line
		case c == '\n':
			return lineStart
		}
		return malformed
	}
	want := statusLineForm[s.column]
	isDigit := '0' <= c && c <= '9'
	if want != c && !(want == '#' && isDigit) {
		return malformed
	}
	if s.column++; s.column > len(statusLineForm)-3 {
		s.status = 10*s.status + int(c-'0')
	}
	return statusLine
}
