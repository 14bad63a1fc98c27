// Package share orders teams by weighted dominant resource fairness (DRF).
package share
