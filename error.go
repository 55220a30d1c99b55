package walnutramp

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a result a caller or peer is told: a numbered code, what became of
// the request, a sentence, and when to come back if that helps.
type Error struct {
	Code       Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // zero where coming back would not help
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (%s): %s", e.Code, e.Outcome, e.Message)
}

// NewError returns an Error whose message is formatted from format and args.
func NewError(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that says when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsError finds the Error in err's chain, or wraps err as an internal one
// whose outcome is Unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(CodeInternal, Unknown, "%v", err)
}

// HasCode reports whether err carries code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
