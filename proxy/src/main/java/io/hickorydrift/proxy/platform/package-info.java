/** Client of the platform's key-value store and list of machines. */
package io.hickorydrift.proxy.platform;
