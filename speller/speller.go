// Package speller suggests the word that a misspelt word was probably meant to be.
package speller

import "strings"

// maxDistance is the highest number of changed characters for which a word is suggested.
const maxDistance = 2

// Suggest returns the candidate that is closest to the word, or "" when none is close. Case differences cost nothing.
// Of equally close candidates the first one is returned.
func Suggest(word string, candidates []string) string {
	best, bestDistance := "", maxDistance+1
	for _, c := range candidates {
		d := distance([]rune(strings.ToLower(word)), []rune(strings.ToLower(c)))
		if d < bestDistance && d < len([]rune(c)) {
			best, bestDistance = c, d
		}
	}
	return best
}

// List joins words as in "a, b or c".
func List(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// distance returns the number of inserted, deleted, replaced or swapped characters between two words.
func distance(a, b []rune) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range b {
		rows[0][j+1] = j + 1
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d := min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, rows[i-2][j-2]+1)
			}
			rows[i][j] = d
		}
	}
	return rows[len(a)][len(b)]
}
