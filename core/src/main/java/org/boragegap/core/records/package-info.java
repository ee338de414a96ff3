/**
 * Start records: which jobs may have started in earlier terms of a cell's controllers, and whether
 * these records are complete, so that a new controller refuses no job that has run.
 *
 * <p>The VMs that may have offered or started jobs send the ids to the new controller ({@link
 * org.boragegap.core.records.RecordSender}), which decides by them what a refusal may state ({@link
 * org.boragegap.core.records.KnownRecords}).
 */
package org.boragegap.core.records;
