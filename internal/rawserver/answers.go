package rawserver

// MalformedStatuses are answers of a status that no final response has, whose body is a list of
// instances, and one that follows an interim response with a body.
var MalformedStatuses = map[string]string{
	"000":                 "HTTP/1.1 000 X\r\n" + object,
	"099":                 "HTTP/1.1 099 X\r\n" + object,
	"+20":                 "HTTP/1.1 +20 X\r\n" + object,
	"101":                 "HTTP/1.1 101 X\r\n" + object,
	"600":                 "HTTP/1.1 600 X\r\n" + object,
	"999":                 "HTTP/1.1 999 X\r\n" + object,
	"interim with a body": "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 X\r\n" + object,
}

// MalformedNames are answers of status 200 whose body is a list of instances, in which the name of
// a field is no token.
var MalformedNames = map[string]string{
	"blank in a name":              "HTTP/1.1 200 X\r\nX Trouble: 1\r\n" + object,
	"blank before the colon":       "HTTP/1.1 200 X\r\nX-Trouble : 1\r\n" + object,
	"control byte in a name":       "HTTP/1.1 200 X\r\nX\x01Trouble: 1\r\n" + object,
	"tab in a name":                "HTTP/1.1 200 X\r\nX\tTrouble: 1\r\n" + object,
	"empty name":                   "HTTP/1.1 200 X\r\n: 1\r\n" + object,
	"in an interim response":       "HTTP/1.1 103 X\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 X\r\n" + object,
	"length with a blank":          "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length : 16\r\n\r\n{\"instances\":[]}",
	"coding with a blank":          "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nTransfer-Encoding : chunked\r\n\r\n{\"instances\":[]}",
	"in a trailer":                 "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"instances\":[]}\r\n0\r\nX Trouble: 1\r\n\r\n",
	"blank before a trailer colon": "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"instances\":[]}\r\n0\r\nX-Trouble : 1\r\n\r\n",
}

const object = "Content-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"instances\":[]}"
