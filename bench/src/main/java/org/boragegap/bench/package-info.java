/** JMH benchmarks of single decisions of the core. */
package org.boragegap.bench;
