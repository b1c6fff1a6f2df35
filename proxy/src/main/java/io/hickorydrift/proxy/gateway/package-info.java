/** Connection-oriented sessions: routes callers' statements to targets. */
package io.hickorydrift.proxy.gateway;
