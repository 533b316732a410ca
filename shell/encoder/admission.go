package encoder

import (
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/shell/encoder/wire"
)

func encodeUsageReport(r messenger.UsageReport) *wire.UsageReport {
	return &wire.UsageReport{Workspaces: convertAll(r.Workspaces, encodeWorkspaceUsage), Services: convertAll(r.Services, encodeServiceUsage)}
}

func decodeUsageReport(r *wire.UsageReport) messenger.UsageReport {
	return messenger.UsageReport{Workspaces: convertAll(r.GetWorkspaces(), decodeWorkspaceUsage), Services: convertAll(r.GetServices(), decodeServiceUsage)}
}

func encodeWorkspaceUsage(u messenger.WorkspaceUsage) *wire.WorkspaceUsage {
	return &wire.WorkspaceUsage{Workspace: u.Workspace, Admitted: int64(u.Admitted), Refused: int64(u.Refused)}
}

func decodeWorkspaceUsage(u *wire.WorkspaceUsage) messenger.WorkspaceUsage {
	return messenger.WorkspaceUsage{Workspace: u.GetWorkspace(), Admitted: int(u.GetAdmitted()), Refused: int(u.GetRefused())}
}

func encodeServiceUsage(u messenger.ServiceUsage) *wire.ServiceUsage {
	return &wire.ServiceUsage{
		Service: u.Service, Priority: int64(u.Priority),
		Offered: int64(u.Offered), Shed: int64(u.Shed), Overloaded: int64(u.Overloaded),
	}
}

func decodeServiceUsage(u *wire.ServiceUsage) messenger.ServiceUsage {
	return messenger.ServiceUsage{
		Service: u.GetService(), Priority: int(u.GetPriority()),
		Offered: int(u.GetOffered()), Shed: int(u.GetShed()), Overloaded: int(u.GetOverloaded()),
	}
}

func encodeAdmissionUpdate(u messenger.AdmissionUpdate) *wire.AdmissionUpdate {
	return &wire.AdmissionUpdate{
		Version:    u.Version,
		Workspaces: convertAll(u.Workspaces, encodeWorkspaceAdmission),
		Services:   convertAll(u.Services, encodeServiceAdmission),
	}
}

func decodeAdmissionUpdate(u *wire.AdmissionUpdate) messenger.AdmissionUpdate {
	return messenger.AdmissionUpdate{
		Version:    u.GetVersion(),
		Workspaces: convertAll(u.GetWorkspaces(), decodeWorkspaceAdmission),
		Services:   convertAll(u.GetServices(), decodeServiceAdmission),
	}
}

func encodeWorkspaceAdmission(a messenger.WorkspaceAdmission) *wire.WorkspaceAdmission {
	return &wire.WorkspaceAdmission{Workspace: a.Workspace, Share: a.Share}
}

func decodeWorkspaceAdmission(a *wire.WorkspaceAdmission) messenger.WorkspaceAdmission {
	return messenger.WorkspaceAdmission{Workspace: a.GetWorkspace(), Share: a.GetShare()}
}

func encodeServiceAdmission(a messenger.ServiceAdmission) *wire.ServiceAdmission {
	return &wire.ServiceAdmission{Service: a.Service, Priority: int64(a.Priority), Share: a.Share}
}

func decodeServiceAdmission(a *wire.ServiceAdmission) messenger.ServiceAdmission {
	return messenger.ServiceAdmission{Service: a.GetService(), Priority: int(a.GetPriority()), Share: a.GetShare()}
}
