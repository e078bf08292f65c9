package gossip

// QuotaHolder is the entry VM that hands out shares of the customers' limits.
type QuotaHolder struct {
	Name string `cbor:"1,keyasint"`
	// Era numbers the holders in their order.
	Era uint64 `cbor:"2,keyasint"`
}

// QuotaRequest asks the holder of the quotas for shares and tokens. Amounts are in
// thousandths. Package steer/quota defines the meaning of the fields.
type QuotaRequest struct {
	Name        string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Era         uint64     `cbor:"3,keyasint"`
	Sequence    uint64     `cbor:"4,keyasint"`
	Full        bool       `cbor:"5,keyasint,omitempty"`
	Asks        []QuotaAsk `cbor:"6,keyasint,omitempty"`
}

// QuotaAsk is the part of a request about one customer. Key is a hash of the customer's name.
type QuotaAsk struct {
	Key     uint64 `cbor:"1,keyasint"`
	Demand  uint64 `cbor:"2,keyasint,omitempty"`
	Waiting uint32 `cbor:"3,keyasint,omitempty"`
	Serial  uint32 `cbor:"4,keyasint,omitempty"`
	Rate    uint64 `cbor:"5,keyasint,omitempty"`
	Depth   uint64 `cbor:"6,keyasint,omitempty"`
	Missing uint64 `cbor:"7,keyasint,omitempty"`
}

// QuotaGrant is the holder's answer to a request. A grant without a sequence only says who
// the holder is.
type QuotaGrant struct {
	Holder      string      `cbor:"1,keyasint"`
	Era         uint64      `cbor:"2,keyasint"`
	Incarnation uint64      `cbor:"3,keyasint,omitempty"`
	Sequence    uint64      `cbor:"4,keyasint,omitempty"`
	Gives       []QuotaGive `cbor:"5,keyasint,omitempty"`
}

// QuotaGive is the part of a grant about one customer.
type QuotaGive struct {
	Key      uint64 `cbor:"1,keyasint"`
	Serial   uint32 `cbor:"2,keyasint,omitempty"`
	Rate     uint64 `cbor:"3,keyasint,omitempty"`
	Depth    uint64 `cbor:"4,keyasint,omitempty"`
	Tokens   uint32 `cbor:"5,keyasint,omitempty"`
	Fill     uint64 `cbor:"6,keyasint,omitempty"`
	Shortage uint8  `cbor:"7,keyasint,omitempty"`
}
