/**
 * Runs the real policy code of each VM in virtual time against small fake targets, next
 * to simple baselines.
 */
package org.vanillatrestle.bench.internal.experiment;
