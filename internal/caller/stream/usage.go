package stream

// Usage is the engine's count of a completion's tokens. Zero when the engine gave none.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Total is what the completion cost.
func (u Usage) Total() int { return u.PromptTokens + u.CompletionTokens }
