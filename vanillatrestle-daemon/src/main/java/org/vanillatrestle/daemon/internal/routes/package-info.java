/**
 * What is served over HTTP: requests, announcements, health and metrics.
 */
package org.vanillatrestle.daemon.internal.routes;
