/**
 * Requests, answers of the policy, and what data centres tell each other of capacity.
 */
package org.vanillatrestle.internal.request;
