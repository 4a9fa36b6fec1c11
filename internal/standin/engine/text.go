package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// hashLength is the number of hex digits of the prompt's hash in each token.
const hashLength = 12

// PromptHash returns the hash that identifies a prompt in the generated text.
func PromptHash(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:hashLength]
}

// Token returns the generated token with the given number, from 0. Model is "adapter@version".
func Token(model, prompt string, number int) string {
	return fmt.Sprintf("%s:%s:%d ", model, PromptHash(prompt), number)
}

// Text returns the complete answer with the given number of tokens. A caller that got anything else got
// an incomplete answer or that of another request.
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

// ChatPrompt returns the prompt for the messages of a chat.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// Model returns the model name of an adapter version, "adapter@version".
func Model(adapter, version string) string { return adapter + "@" + version }

// countTokens returns the number of tokens of a prompt, as reported in the usage.
func countTokens(prompt string) int { return len(strings.Fields(prompt)) }
