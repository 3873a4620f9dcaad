/**
 * Small HTTP plumbing over Netty's codec, shared by the stand-ins and the load generator.
 */
package org.vanillatrestle.bench.internal.http;
