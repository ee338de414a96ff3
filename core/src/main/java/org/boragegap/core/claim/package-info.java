/** Claims, which determine the VM that may start a submission, and the views they are made in. */
package org.boragegap.core.claim;
