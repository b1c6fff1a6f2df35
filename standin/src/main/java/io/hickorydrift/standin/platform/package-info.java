/** Stand-in for the platform: key-value service and list of machines. */
package io.hickorydrift.standin.platform;
