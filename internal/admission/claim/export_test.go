package claim

// GroupOf returns the group of a claim; claims of one group share a value in the store.
func GroupOf(workspace, key string) int { return groupOf(hashKey(workspace, key)) }
