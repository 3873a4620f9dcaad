/**
 * The stand-in plain service, which logs each run by its idempotency key.
 */
package org.vanillatrestle.bench.internal.service;
