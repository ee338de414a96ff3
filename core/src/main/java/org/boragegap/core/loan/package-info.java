/** Loans between two parties: terms and pacing, and loans of whole targets between cells. */
package org.boragegap.core.loan;
