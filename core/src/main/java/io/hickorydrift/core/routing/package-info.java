/** What an instance knows of a database group, and which target serves a request. */
package io.hickorydrift.core.routing;
