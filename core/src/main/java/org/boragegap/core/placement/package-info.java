/** The choice of a target for each task, and lending of target slots among entry VMs. */
package org.boragegap.core.placement;
