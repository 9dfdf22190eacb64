// Package succession carries out planned stops between entries: a Giver hands
// the jobs of a stopping entry to a successor, a Taker takes those of others.
package succession
