// Package speller finds the known word closest to a misspelt one.
package speller

import (
	"strings"
	"unicode/utf8"
)

// maxDistance is the largest edit distance at which a word is suggested.
const maxDistance = 2

// Suggest returns the candidate with the smallest edit distance to the word, or "" if none is within maxDistance. The
// distance must also be less than the length of the candidate. Case is ignored. Among equally close candidates the first one
// is returned.
func Suggest(word string, candidates []string) string {
	best, bestDistance := "", maxDistance+1
	length := utf8.RuneCountInString(word)
	for _, c := range candidates {
		// The distance is at least the difference of the lengths. Without this check a word of 1.5 MiB
		// took 885 MiB with a candidate of 63 characters.
		if difference := utf8.RuneCountInString(c) - length; difference > maxDistance || difference < -maxDistance {
			continue
		}
		d := editDistance([]rune(strings.ToLower(word)), []rune(strings.ToLower(c)))
		if d < bestDistance && d < len([]rune(c)) {
			best, bestDistance = c, d
		}
	}
	return best
}

// JoinOr joins words as in "a, b or c".
func JoinOr(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}

// editDistance returns the number of inserted, deleted, replaced or swapped characters between two words (optimal string
// alignment).
func editDistance(a, b []rune) int {
	distances := make([][]int, len(a)+1)
	for i := range distances {
		distances[i] = make([]int, len(b)+1)
		distances[i][0] = i
	}
	for j := range b {
		distances[0][j+1] = j + 1
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d := min(distances[i-1][j]+1, distances[i][j-1]+1, distances[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, distances[i-2][j-2]+1)
			}
			distances[i][j] = d
		}
	}
	return distances[len(a)][len(b)]
}
