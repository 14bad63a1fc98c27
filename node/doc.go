// Package node assembles the process that runs on each entry VM of a fleet.
//
// Every process accepts callers' requests and stores their workflows. The processes
// elect one of them as the scheduler through the store. The others forward queries to
// it, call the advice service and targets on its behalf, and stand by to take over.
// No durable state is kept on the VM.
package node
