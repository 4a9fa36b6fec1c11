package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// hashLength is how much of the prompt's hash a token shows.
const hashLength = 12

// PromptHash names a prompt in the generated text.
func PromptHash(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:hashLength]
}

// Token is the generated token with the given number, from 0. Model is "adapter@version".
func Token(model, prompt string, number int) string {
	return fmt.Sprintf("%s:%s:%d ", model, PromptHash(prompt), number)
}

// Text is the whole answer of so many tokens. A caller that got anything else got a part of its
// answer, or another's.
func Text(model, prompt string, tokens int) string {
	var text strings.Builder
	for number := range tokens {
		text.WriteString(Token(model, prompt, number))
	}
	return text.String()
}

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// ChatPrompt is the prompt that stands for a chat.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// Model joins an adapter and a version as requests name them.
func Model(adapter, version string) string { return adapter + "@" + version }

// countTokens is the length of a prompt in tokens, as usage counts it.
func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
