package responsehead

// state is what a scanner has reached in a head.
type state int

const (
	statusLine state = iota // before the reason phrase
	reason
	lineStart // before a field, or the end of the head
	fieldName
	fieldValue
	lineEnd // before the LF of a line
	headEnd // before the LF of the head's last line
	ended   // after the head of a final response
	malformed
)

// statusLineForm is the part of a status line before the reason phrase; # is a digit.
const statusLineForm = "HTTP/1.# ###"

// versionColumn is where a status line has the minor version.
const versionColumn = len("HTTP/1.")

// transferEncoding is the name of a field that HTTP/1.0 does not have. Where the body of such a response ends is not known.
const transferEncoding = "transfer-encoding"

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// switchingProtocols is the status of an interim response that answers only requests for another protocol.
const switchingProtocols = 101

// scanner follows the head of a response, with the interim responses before it.
type scanner struct {
	state  state
	column int // in the status line
	status int
	http10 bool
	// matched is how much of transferEncoding the name of the field begins with, or -1 if it is another name.
	matched int
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
	case lineStart:
		switch {
		case c == '\r':
			return headEnd
		case isTokenByte(c):
			s.matched = 0
			return s.nameByte(c)
		}
	case fieldName:
		switch {
		case c == ':' && s.http10 && s.matched == len(transferEncoding):
			return malformed
		case c == ':':
			return fieldValue
		case isTokenByte(c):
			return s.nameByte(c)
		}
	case reason, fieldValue:
		switch {
		case c == '\r':
			return lineEnd
		case isTextByte(c):
			return s.state
		}
	case lineEnd:
		if c == '\n' {
			return lineStart
		}
	case headEnd:
		switch {
		case c == '\n' && s.status < 200:
			*s = scanner{} // an interim response
			return statusLine
		case c == '\n':
			return ended
		}
	}
	return malformed
}

// statusByte returns the state after the byte c of the status line.
func (s *scanner) statusByte(c byte) state {
	if s.column == len(statusLineForm) {
		switch {
		case s.status < 100 || s.status > maxStatus || s.status == switchingProtocols:
			return malformed
		case c == ' ':
			return reason
		case c == '\r': // without a reason phrase
			return lineEnd
		}
		return malformed
	}
	want := statusLineForm[s.column]
	isDigit := '0' <= c && c <= '9'
	if want != c && !(want == '#' && isDigit) {
		return malformed
	}
	if s.column == versionColumn {
		s.http10 = c == '0'
	}
	if s.column++; s.column > len(statusLineForm)-3 {
		s.status = 10*s.status + int(c-'0')
	}
	return statusLine
}

// nameByte returns the state after the byte c of the name of a field.
func (s *scanner) nameByte(c byte) state {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if s.matched >= 0 && s.matched < len(transferEncoding) && transferEncoding[s.matched] == c {
		s.matched++
	} else {
		s.matched = -1
	}
	return fieldName
}

// isTokenByte reports whether the name of a field may hold c.
func isTokenByte(c byte) bool {
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
}

// isTextByte reports whether the value of a field or a reason phrase may hold c.
func isTextByte(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }
