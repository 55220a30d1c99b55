package rawserver

// MalformedStatuses are answers of a status that no final response has, with a list of instances as the
// body, and of interim responses with a body.
var MalformedStatuses = map[string]string{
	"000":                 "HTTP/1.1 000 X\r\n" + object,
	"099":                 "HTTP/1.1 099 X\r\n" + object,
	"+20":                 "HTTP/1.1 +20 X\r\n" + object,
	"101":                 "HTTP/1.1 101 X\r\n" + object,
	"600":                 "HTTP/1.1 600 X\r\n" + object,
	"999":                 "HTTP/1.1 999 X\r\n" + object,
	"interim with a body": "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 X\r\n" + object,
}

const object = "Content-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"instances\":[]}"
