/**
 * Tests with real daemon processes.
 */
package org.vanillatrestle.bench.processes;
