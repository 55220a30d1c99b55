package walnutramp

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is the failure of a request, as reported to a caller or peer. Outcome tells
// whether the request ran.
type Error struct {
	Code       Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // zero if retrying would not help
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (%s): %s", e.Code, e.Outcome, e.Message)
}

// NewError returns an Error whose message is formatted from format and args.
func NewError(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsError returns the Error in err's chain, or wraps err as an internal error whose
// outcome is Unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(CodeInternal, Unknown, "%v", err)
}

// HasCode reports whether the Error in err's chain, if any, has the given code.
func HasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
