/** Submissions, their tasks, outcomes and answers. */
package org.boragegap.core.job;
