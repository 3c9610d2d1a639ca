package api

import "fmt"

// Resources is an amount of compute resources, such as the capacity of a VM or
// the requirements of a task.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64    `json:"milli_cpu"`    // thousandths of a processor
	MemoryMB     int64    `json:"memory_mb"`    // mebibytes
	Accelerators int64    `json:"accelerators"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	r.MilliCPU += o.MilliCPU
	r.MemoryMB += o.MemoryMB
	r.Accelerators += o.Accelerators
	return r
}

// Sub returns r minus o; fields of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	r.MilliCPU -= o.MilliCPU
	r.MemoryMB -= o.MemoryMB
	r.Accelerators -= o.Accelerators
	return r
}

// Mul returns r multiplied by n.
func (r Resources) Mul(n int64) Resources {
	r.MilliCPU *= n
	r.MemoryMB *= n
	r.Accelerators *= n
	return r
}

// Fits reports whether r is no larger than free in every field.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool {
	return r.MilliCPU == 0 && r.MemoryMB == 0 && r.Accelerators == 0
}

// HasNegative reports whether any field is negative.
func (r Resources) HasNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// String formats r for logs and explanations.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMB accelerators=%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
